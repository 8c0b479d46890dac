"""Load balancing of calls over backend servers, with concurrency limits and admission control."""
