"""Who is there: records, probes and suspicion."""
