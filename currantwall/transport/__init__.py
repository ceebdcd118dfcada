"""Sockets and clocks: turns actions into I/O, and I/O into messages."""
