"""The decisions of a node, made by parts: messages in, actions out.

Nothing here performs I/O, reads a clock or draws random numbers, so the
same objects run in the daemon, in tests under a virtual clock and in the
benchmarks.
"""
