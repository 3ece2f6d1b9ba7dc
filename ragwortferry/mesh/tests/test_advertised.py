"""Limits and departures that upstreams state in their responses."""

import pytest

from ragwortferry.mesh.admission.advertised import AdvertisedState
from ragwortferry.mesh.links.frames import Advertisement
from ragwortferry.mesh.model import Advertised
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.platform.advertised import decode_advertised
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import an_upstream, null_log


def _record(state, at, limit=None, sent_at=None, upstream="i-1", **options):
    advertised = Advertised(limit)
    ran = options.pop("ran", True)
    return state.record(
        upstream, advertised, at if sent_at is None else sent_at, at, ran
    )


@pytest.mark.parametrize("value", ["", "many", "-1", "nan", "inf", "1e3", "4,6", "٣"])
def test_limit_that_is_no_decimal_number_is_no_statement(value):
    advertised = decode_advertised([("Server-Limit", value)])
    assert advertised.limit_per_s is None and advertised.invalid
    state = AdvertisedState(null_log())
    _record(state, 1.0, 5.0)
    state.record("i-1", advertised, 2.0, 2.1, True)
    assert state.limit_per_s == 5.0


@pytest.mark.parametrize("value", ["0", "1", "4.6", "0.25", " 7 "])
def test_decimal_limit_is_read(value):
    assert decode_advertised([("server-limit", value)]).limit_per_s == float(value)


def test_response_that_overtook_the_limit_does_not_end_it():
    state = AdvertisedState(null_log())
    _record(state, 1.0, 5.0)
    assert not _record(state, 1.1, sent_at=0.9)
    assert state.limit_per_s == 5.0
    assert _record(state, 1.3, sent_at=1.2)
    assert state.limit_per_s is None


def test_refusal_without_a_limit_does_not_end_it():
    state = AdvertisedState(null_log())
    _record(state, 1.0, 5.0, ran=False)
    _record(state, 2.0, ran=False)
    assert state.limit_per_s == 5.0


def test_limit_ends_with_the_upstream_that_named_it():
    state = AdvertisedState(null_log())
    _record(state, 1.0, 5.0)
    _record(state, 3.0, upstream="i-2", ran=False)
    assert state.limit_per_s is None
    _record(state, 4.0, 5.0, upstream="i-2")
    assert not state.forget("i-1") and state.forget("i-2")


def _state_with(*upstreams) -> MeshState:
    state = MeshState(decode_document, null_log())
    _list(state, 1, *upstreams)
    return state


def _list(state, revision, *upstreams) -> None:
    state.apply_registry(RegistryChange(0, revision, list(upstreams)), "store")


def test_leaving_upstream_is_not_available_however_often_it_is_registered():
    state = _state_with(an_upstream(born_ms=5))
    assert state.mark_leaving("i-1", 5, "10.0.0.1")
    assert not state.mark_leaving("i-1", 5, "10.0.0.2")
    _list(state, 2)
    _list(state, 3, an_upstream(born_ms=5, revision=3))
    assert state.available_upstreams("tablero") == [] and state.leaving_count == 1


def test_upstream_that_has_started_again_is_available():
    state = _state_with(an_upstream(born_ms=5))
    state.mark_leaving("i-1", 5, "10.0.0.1")
    _list(state, 2, an_upstream(born_ms=6, revision=2))
    assert len(state.available_upstreams("tablero")) == 1
    assert not state.mark_leaving("i-1", 5, "10.0.0.1")
    assert len(state.available_upstreams("tablero")) == 1


def test_departure_of_an_upstream_that_is_not_listed_yet_is_kept():
    state = _state_with()
    assert state.mark_leaving("i-1", 0, "10.0.0.1")
    _list(state, 2, an_upstream(born_ms=5, revision=2))
    assert state.available_upstreams("tablero") == []
    _list(state, 3, an_upstream(born_ms=6, revision=3))
    assert len(state.available_upstreams("tablero")) == 1


def test_node_adopts_the_latest_limit_that_others_know_until_it_hears_its_upstream():
    state = AdvertisedState(null_log())
    assert state.adopt(Advertisement("i-1", 5.0, 4000, False), 10.0)
    assert not state.adopt(Advertisement("i-1", 9.0, 8000, False), 10.0)
    assert state.adopt(Advertisement("i-1", 3.0, 1000, False), 10.0)
    assert state.limit_per_s == 3.0
    assert _record(state, 11.0)
    assert state.limit_per_s is None
    assert not state.adopt(Advertisement("i-1", 3.0, 0, False), 12.0)
