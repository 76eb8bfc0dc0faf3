"""Steering of traffic by a desired state: from a caller's request to a target and back.

The parts, in the order in which a request meets them: :mod:`.callers` takes it in, :mod:`.routes`
finds its route, :mod:`.forwarder` sends it to the targets that :mod:`coralfall.placement` names,
over :mod:`.connection`. What they believe comes from :mod:`.follower` (the platform's store) and
:mod:`.gossip` (other entries). :mod:`.node` builds all of it.
"""
