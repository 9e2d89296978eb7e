"""Scripted scenarios: processes, requests and faults; played on loopback, verified from the recording."""
