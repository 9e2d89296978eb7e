"""Emulators of what a relay talks to: endpoints, discovery, rollout platform, clients. They write the recording."""
