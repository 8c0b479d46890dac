"""What a sidecar is told about itself and about the promises of its deployment."""

from __future__ import annotations

import attrs


@attrs.frozen
class Bounds:
    """The promises of a deployment, in seconds unless a field says otherwise.

    Attributes:
        drain_s: From an acknowledged leaving to the last request at that backend server.
        grace_s: From the signal to stop to the end of the process.
        config_apply_s: From an accepted configuration to its being in force everywhere.
        address_reuse_s: From a backend server's end to another one at its address.
        repeat_ratio: Repeats allowed for each request of a service, over all daemons.
        repeat_window_s: The window in which repeats are counted.
        repeat_extra: Repeats allowed in a window besides, over all daemons.
        exposure_share: The share of a service's requests that a bad release may get.
        exposure_calls: The requests that a bad release may get besides.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    config_apply_s: float = 2.0
    address_reuse_s: float = 2.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_extra: float = 50.0
    exposure_share: float = 0.1
    exposure_calls: float = 50.0


@attrs.frozen
class SidecarSettings:
    """The checked settings of one sidecar.

    Attributes:
        name: The VM's name.
        data_centre: The data centre in which it runs.
        callers: Where the VM's callers and its backend server send requests.
        gate: Where other sidecars send requests for the backend server.
        readiness: Where the platform asks whether this daemon takes callers.
        control: Where the backend server sends its heartbeats.
        metrics: Where counters and the state dump are read, or an empty string.
        server: The backend server's address.
        service: The service of the backend server on this VM.
        store: The store's address.
        seeds: Control addresses of other sidecars, which may be stale.
        bounds: The promises of the deployment.
    """

    name: str
    data_centre: str
    callers: str
    gate: str
    readiness: str
    control: str
    server: str
    service: str
    store: str
    metrics: str = ""
    seeds: tuple[str, ...] = ()
    bounds: Bounds = attrs.field(factory=Bounds)
