"""Limits and departures that upstreams state in their responses."""

import pytest

from ragwortferry.mesh.advertised import AdvertisedState
from ragwortferry.mesh.frames import Advertisement
from ragwortferry.mesh.model import Advertised
from ragwortferry.platform.advertised import decode_advertised
from ragwortferry.tests.mesh_builders import null_log


def _record(state, at, limit=None, sent_at=None, upstream="i-1", **options):
    advertised = Advertised(limit, options.pop("leaving", False))
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


def test_limit_and_departure_end_with_the_upstream_that_stated_them():
    state = AdvertisedState(null_log())
    _record(state, 1.0, 5.0, leaving=True)
    _record(state, 2.0)
    assert state.leaving and state.limit_per_s is None
    _record(state, 3.0, upstream="i-2")
    assert not state.leaving


def test_node_adopts_the_latest_limit_that_others_know_until_it_hears_its_upstream():
    state = AdvertisedState(null_log())
    assert state.adopt(Advertisement("i-1", 5.0, 4000, False), 10.0)
    assert not state.adopt(Advertisement("i-1", 9.0, 8000, False), 10.0)
    assert state.adopt(Advertisement("i-1", 3.0, 1000, False), 10.0)
    assert state.limit_per_s == 3.0
    assert _record(state, 11.0)
    assert state.limit_per_s is None
    assert not state.adopt(Advertisement("i-1", 3.0, 0, False), 12.0)
