"""Development tools: test runner, page generators, guard mutation check, demonstration."""
