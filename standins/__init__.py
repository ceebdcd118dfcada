"""Stand-ins for outside systems: platform, engines, plain services.

They implement the documented interfaces and can inject faults.
"""
