"""The agent process: admits the requests and batch tasks that one worker runs."""
