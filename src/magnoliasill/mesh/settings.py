"""The settings of a sidecar, and the guarantees of its deployment."""

from __future__ import annotations

import attrs


@attrs.frozen
class Bounds:
    """The guarantees of a deployment, in seconds unless a field says otherwise.

    Attributes:
        drain_s: From the acknowledgement that a backend server is leaving to its last request.
        grace_s: From the termination signal to the exit of the process.
        config_apply_s: From the acceptance of a configuration to its use by every sidecar.
        address_reuse_s: From the end of a backend server to the start of another at its address.
        repeat_ratio: The retries allowed per request of a service, over all sidecars.
        repeat_window_s: The sliding window in which retries are counted.
        repeat_extra: The retries allowed per window on top of that, over all sidecars.
        exposure_share: The share of a service's requests that a bad release may get.
        exposure_calls: The number of requests that a bad release may get on top of that.
        strict_revocation: Whether a key must not work any more `revocation_s` after it was taken
            away, also on VMs that can't reach the store.
        revocation_s: From the acceptance of a configuration without a key to its last request.
        quota_window_s: The sliding window in which a team's requests are counted.
        quota_excess: The share of a team's quota that may run beyond it in that window.
        quota_tolerance: The number of requests that may run on top of that.
        warmup_excess: The most requests in a second for a cold server, as a multiple of its rate.
        warmup_tolerance: The number of requests on top of that.
        evacuation_s: From the order to evacuate a data centre to the last request there.
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
    strict_revocation: bool = False
    revocation_s: float = 5.0
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_tolerance: float = 20.0
    warmup_excess: float = 1.5
    warmup_tolerance: float = 8.0
    evacuation_s: float = 5.0


@attrs.frozen
class SidecarSettings:
    """The validated settings of one sidecar.

    Attributes:
        name: The VM's name.
        data_centre: The data centre that the VM runs in.
        callers: The address for requests from the VM's callers and its backend server.
        gate: The address for requests from other sidecars to the backend server.
        readiness: The address of the platform's readiness probe.
        control: The address for heartbeats from the backend server.
        metrics: The address that serves metrics and the state dump, or an empty string.
        server: The backend server's address.
        service: The service of the backend server on this VM.
        store: The store's address.
        link_mbps: The rate of the VM's network link in Mbit/s, or 0 if it is not known.
        memory_mb: The memory that the process may use, or 0 if it is not known.
        max_descriptors: The number of files and sockets that it may open, or 0 if it is not known.
        paces_starts: Whether the gate finds the pace of a server that starts or recovers, also
            where neither a warm-up rate nor the server's own pace is stated.
        local_first: Whether requests stay in their data centre while its servers answer well in
            time, also where neither the configuration nor the own server gives a reason for it.
        seeds: Control addresses of other sidecars, which may be outdated.
        bounds: The guarantees of the deployment.
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
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_descriptors: int = 0
    paces_starts: bool = False
    local_first: bool = False
    seeds: tuple[str, ...] = ()
    bounds: Bounds = attrs.field(factory=Bounds)
