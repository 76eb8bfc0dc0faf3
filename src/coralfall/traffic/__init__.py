"""Steering of traffic by a desired state: from a caller's request to a target and back.

The modules, in the order in which a request passes them: :mod:`.callers` receives it,
:mod:`.routes` finds its route, :mod:`.forwarder` sends it to the targets that
:mod:`coralfall.placement` selects, over :mod:`.connection`. The state that they use
(:mod:`.state_view`) comes from :mod:`.follower` (the platform's store) and :mod:`.gossip` (other
entries). :mod:`.node` builds all of it.
"""
