"""What is learnt from late measurements: interference, sizes, health of workers."""
