"""Service files, versions of the configuration and routing by them."""
