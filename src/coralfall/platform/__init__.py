"""The users' platform: translation between its pages and the product, and nothing else.

Nothing outside this folder knows a name that the platform's pages use. What is decided, kept or
recovered is the product's, in :mod:`coralfall.traffic`.
"""
