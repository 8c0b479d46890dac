"""The member table: records of all daemons, failure detection and synchronization."""
