"""The operators' tool."""
