"""One attempt to get the response to a call from one worker (docs/DESIGN.md section 12.5).

``ForwardingAttempt`` runs an attempt. Each of its parts owns some of the state: ``WorkerConnection`` the exchange with
the worker and why it was stopped, ``ResponseRelay`` what the caller is sent, ``AttemptTimers`` the time limits, and
``AttemptClassifier`` how the attempt ended.
"""
