import pytest
from multidict import CIMultiDict

from ragwortferry.exceptions import ERROR_RESPONSES, ErrorKind, Outcome, RequestError
from ragwortferry.requests import headers


def test_every_error_kind_has_a_response_and_only_not_run_kinds_are_retried():
    assert ERROR_RESPONSES.keys() == set(ErrorKind)
    for response in ERROR_RESPONSES.values():
        assert 400 <= response.status < 600
        if response.retryable:
            assert response.outcome is Outcome.NOT_RUN
        if response.status in (502, 503, 504):
            assert response.retry_after


def test_hop_by_hop_and_internal_headers_are_removed():
    given = CIMultiDict(
        {
            "Connection": "X-Local, keep-alive",
            "X-Local": "1",
            "Content-Length": "3",
            "X-Ragwortferry-Attempt": "forged",
            "X-Target-Refused": "not-run",
            "Accept": "a",
        }
    )
    given.add("Accept", "b")
    assert list(headers.end_to_end(given).items()) == [("Accept", "a"), ("Accept", "b")]


@pytest.mark.parametrize("value", ["", "a b", "x" * 129, "ü", "a\tb"])
def test_a_malformed_request_id_is_rejected(value):
    with pytest.raises(RequestError) as caught:
        headers.request_id_of({headers.REQUEST_ID: value})
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("value", ["", "-1", "1.5", "1e3", "²", "99999999"])
def test_a_malformed_timeout_is_rejected(value):
    with pytest.raises(RequestError):
        headers.timeout_of({headers.TIMEOUT_MS: value}, 2.0)


def test_a_caller_may_shorten_the_deadline_but_not_lengthen_it():
    assert headers.timeout_of({headers.TIMEOUT_MS: "500"}, 2.0) == 0.5
    assert headers.timeout_of({headers.TIMEOUT_MS: "5000"}, 2.0) == 2.0
    assert headers.timeout_of({}, 2.0) == 2.0


@pytest.mark.parametrize("path", ["x", "", "//evil/x", "/a/../pay", "/a/.", "/.."])
def test_a_path_that_targets_may_resolve_differently_is_rejected(path):
    with pytest.raises(RequestError) as caught:
        headers.check_path(path)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("path", ["/", "/a", "/a/b.c/..d", "/a//b"])
def test_a_regular_path_is_accepted(path):
    headers.check_path(path)


def test_headers_over_the_size_limit_are_rejected():
    with pytest.raises(RequestError) as caught:
        headers.check_headers({"X-Big": "x" * headers.MAX_HEADER_BYTES})
    assert caught.value.response.status == 431
