"""Distribution of configuration versions to every daemon."""
