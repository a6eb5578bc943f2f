"""The command-line tool against real daemons, including platform faults."""

import hashlib
import json
import sys

import pytest
import tomli_w

from bench.layout import Domain
from bench.site import OPERATOR_TOKEN, Site
from briarbeam.cli import application

DOMAINS = (
    Domain("hobart", "south", entries=1, engines=0),
    Domain("burnie", "north", entries=1, engines=0),
)


def _list_members(site):
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    entry = site.entries()[0].http
    answer = site.ask(entry, "GET", "/operator/v1/members", headers=headers)
    return answer.get("items", ())


@pytest.fixture(scope="module")
def site():
    with Site(DOMAINS) as site:
        site.wait_for(lambda: len(_list_members(site)) == len(site.instances))
        yield site


@pytest.fixture
def run(site, monkeypatch, capsys):
    monkeypatch.setenv("BRIARBEAM_SERVER", str(site.entries()[0].http))
    monkeypatch.setenv("BRIARBEAM_TOKEN", OPERATOR_TOKEN)

    def run(*words):
        monkeypatch.setattr(sys, "argv", ["briarbeam", *map(str, words)])
        with pytest.raises(SystemExit) as caught:
            application.main()
        return caught.value.code, capsys.readouterr().out

    return run


def _write_resources(tmp_path, *resources, name="resources.toml"):
    path = tmp_path / name
    path.write_text(tomli_w.dumps({"resources": list(resources)}))
    return path


def test_operators_work_from_the_command_line(run, site, tmp_path):
    team = {"kind": "team", "name": "grid", "spec": {"weight": 2.0}}
    service = {"kind": "service", "name": "ledger"}
    wanted = _write_resources(tmp_path, team, service)
    code, text = run("diff", "-f", wanted)
    assert (code, "team/grid created" in text) == (1, True)
    assert run("apply", "-f", wanted)[0] == 0
    assert run("apply", "-f", wanted)[1].startswith("unchanged")
    assert run("diff", "-f", wanted) == (0, "")
    listed = json.loads(run("get", "team", "-o", "json")[1])
    assert listed["items"][0]["spec"]["weight"] == 2.0
    assert 'name = "grid"' in run("get", "team", "grid", "-o", "toml")[1]
    assert "KIND" in run("get")[1]
    assert "operator: team/grid created" in run("describe", "team", "grid")[1]

    before = listed["revision"]
    assert run("domain", "out", "burnie")[0] == 0
    code, text = run("watch", "--after", before, "--count", 1)
    assert (code, "failure-domain/burnie created" in text) == (0, True)
    assert run("domain", "out", "hobart")[0] == 1
    assert run("domain", "in", "burnie")[0] == 0

    stale = _write_resources(
        tmp_path, {**team, "generation": 1, "spec": {}}, name="stale.toml"
    )
    assert run("apply", "-f", stale)[0] == 3
    assert run("delete", "team", "nobody")[0] == 4
    assert run("get", "--token", "nobody's")[0] == 6
    assert run("get", "--server", "127.0.0.1:9")[0] == 5
    assert run("get", "--colour")[0] == 2
    assert run("apply", "-f", tmp_path / "absent.toml")[0] == 2


def test_export_is_imported_by_a_successor_while_the_platform_loses_answers(
    run, site, tmp_path
):
    digest = hashlib.sha256(b"next").hexdigest()
    operator = {"kind": "operator", "name": "next", "spec": {"token_digests": [digest]}}
    exported = tmp_path / "records.json"
    assert run("export", exported)[0] == 0
    tampered = tmp_path / "tampered.json"
    tampered.write_text(exported.read_text().replace("2.0", "3.0"))
    site.set_faults(site.object_api, mode="lose")
    try:
        assert run("apply", "-f", _write_resources(tmp_path, operator))[0] == 0
        assert run("get")[0] == 6
        assert run("import", tampered, "--token", "next")[0] == 2
        assert run("delete", "team", "grid", "--token", "next")[0] == 0
        assert run("import", exported, "--token", "next")[0] == 0
    finally:
        site.set_faults(site.object_api, mode="ok")
    code, text = run("get", "changes", "-o", "json", "--token", "next")
    recorded = [
        (change["operator"], item["key"], item["action"])
        for change in json.loads(text)["changes"]
        for item in change["changed"]
    ]
    assert recorded[-3:] == [
        ("operator", "operator/next", "created"),
        ("next", "team/grid", "deleted"),
        ("next", "team/grid", "created"),
    ]
