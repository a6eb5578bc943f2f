"""The layout of a site: failure domains, instances, and the links between them."""

import subprocess
from dataclasses import dataclass, field

from briarbeam.kernel.network import Address

HTTP_PORT, CONTROL_PORT, BACKEND_PORT = 8080, 8081, 8090
ADVERTISED_HTTP_PORT, ADVERTISED_CONTROL_PORT = 9080, 9081
# For each platform service: the port that daemons connect to and the one it listens on.
RELAY_PORTS = {"object_api": (9000, 7000), "origin": (9001, 7001)}
DOMAIN_LATENCY_S, REGION_LATENCY_S = 0.001, 0.002


@dataclass
class Domain:
    """The number of instances of each kind in a failure domain."""

    name: str
    region: str
    entries: int = 1
    engines: int = 1
    services: int = 0


@dataclass
class Instance:
    """One instance: a daemon and, for targets, its back end.

    :param backend: ``engine`` or ``service``; None for an entry.
    :param processes: all processes started for the instance, also those that ended.
    """

    name: str
    role: str
    region: str
    failure_domain: str
    host: str
    backend: str | None = None
    processes: list = field(default_factory=list)
    daemon: subprocess.Popen | None = None
    backend_process: subprocess.Popen | None = None

    @property
    def http(self):
        """The daemon's own HTTP address."""
        return Address(self.host, HTTP_PORT)

    @property
    def backend_address(self):
        """The back end's address."""
        return Address(self.host, BACKEND_PORT)


KHANGAI = (
    Domain("ulaanbaatar", "central", entries=3, engines=2, services=1),
    Domain("darkhan", "central", entries=3, engines=2, services=1),
    Domain("oyu-gobi", "south", entries=3, engines=1, services=1),
)
DERWENT = (
    Domain("hobart", "south", entries=3, engines=3, services=1),
    Domain("launceston", "north", entries=3, engines=3, services=1),
    Domain("burnie", "north", entries=3, engines=2, services=1),
)


def lay_out(domains, prefix):
    """Return the instances of `domains` by name, with `prefix` in their addresses."""
    instances = {}
    for number, domain in enumerate(domains, start=1):
        kinds = [("entry", None)] * domain.entries
        kinds += [("target", "engine")] * domain.engines
        kinds += [("target", "service")] * domain.services
        for index, (role, backend) in enumerate(kinds, start=1):
            first_index = kinds.index((role, backend))
            name = f"{domain.name}-{backend or role}-{index - first_index}"
            instances[name] = Instance(
                name=name,
                role=role,
                region=domain.region,
                failure_domain=domain.name,
                host=f"{prefix}.{number}.{index}",
                backend=backend,
            )
    return instances


def links_plan(
    platform_domain, platform, instances, link_bytes_per_s, region_bytes_per_s
):
    """Return the plan that the link stand-in follows.

    :param platform_domain: the `Domain` in which the platform's services are.
    :param platform: the addresses of the platform's services by name.
    :param instances: the `Instance` objects by name.
    """
    ends, relays = [], []
    for name, address in platform.items():
        location = {
            "region": platform_domain.region,
            "failure_domain": platform_domain.name,
        }
        ends.append(
            {"name": name, "host": address.host, "link_bytes_per_s": None, **location}
        )
        relays.append(_relay(address.host, *RELAY_PORTS[name], name))
    for item in instances.values():
        location = {"region": item.region, "failure_domain": item.failure_domain}
        ends.append({"name": item.name, "host": item.host, **location})
        relays.append(_relay(item.host, ADVERTISED_HTTP_PORT, HTTP_PORT, item.name))
        relays.append(
            _relay(item.host, ADVERTISED_CONTROL_PORT, CONTROL_PORT, item.name)
        )
    return {
        "instances": ends,
        "relays": relays,
        "link_bytes_per_s": link_bytes_per_s,
        "region_bytes_per_s": region_bytes_per_s,
        "domain_latency_s": DOMAIN_LATENCY_S,
        "region_latency_s": REGION_LATENCY_S,
    }


def _relay(host, from_port, to_port, instance):
    return {
        "from_host": host,
        "from_port": from_port,
        "to_host": host,
        "to_port": to_port,
        "instance": instance,
    }
