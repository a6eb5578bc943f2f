"""Changing an engine over to a complete, verified version, under the gate."""

import structlog
from prometheus_client import Counter

from ..kernel.errors import OrderError

_CHANGEOVERS = Counter("briarbeam_changeovers", "Changeovers", ["result"])
_log = structlog.get_logger()


class Changeover:
    """One change of an engine to one version.

    :param manifest: the manifest of weights that are held whole and verified.
    """

    def __init__(self, kernel, model, version, spec, manifest):
        self._kernel = kernel
        self._model = model
        self._version = version
        self._spec = spec
        self._manifest = manifest
        self._gate = kernel.find("gate")
        self._settings = kernel.settings

    def run(self):
        """Stop admitting, drain, order, read back and admit as cold.

        :raises OrderError: if the engine does not serve the version afterwards.
        """
        gate = self._gate
        if gate.backend.status().loaded.get(self._model) == self._version:
            return
        gate.admission.close("changing", self._model)
        try:
            if not gate.admission.wait_idle(self._settings.drain_timeout_s):
                raise OrderError("the running requests did not end in time")
            gate.backend.order(self._order(), self._settings.target.order_timeout_s)
            self._read_back()
        except Exception:
            _CHANGEOVERS.labels("failed").inc()
            raise
        finally:
            gate.probe()
            gate.admission.open("changing")
        _CHANGEOVERS.labels("done").inc()

    def _read_back(self):
        status = self._gate.backend.status()
        found = status.loaded.get(self._model)
        if found != self._version:
            raise OrderError(f"ordered {self._version!r}, the engine serves {found!r}")
        self._gate.note_incarnation(status.incarnation)

    def _order(self):
        address = self._settings.listen.http
        body = {
            "kind": "model",
            "name": self._model,
            "version": self._version,
            "weights_digest": self._spec.weights_digest,
            "weights_url": f"{address}/weights/{self._spec.manifest_digest}",
            "fence": self._kernel.find("configuration").configuration.revision,
        }
        configuration = self._kernel.find("configuration").configuration
        model = configuration.get("model", self._model)
        if model is not None and model.base:
            body.update(
                kind="adapter", base=model.base, base_version=self._spec.base_version
            )
        return body
