"""What is done to batch work for the sake of services beside it."""
