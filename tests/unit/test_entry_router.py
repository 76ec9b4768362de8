"""The router of an entry's HTTP port."""

import curio
import orjson
import pytest

from pistachiodeal.entry.router import RouterComponents, create_router
from pistachiodeal.exceptions import RequestError
from pistachiodeal.histograms import create_histograms
from pistachiodeal.web.messages import WebRequest, WebResponse

TOKEN = "token-of-the-operators"


class NamedHandler:
    """A handler that answers with its own name."""

    def __init__(self, name):
        self.name = name

    async def handle(self, *args):
        return WebResponse(200, (), self.name.encode())


def call(target, *, token="", draining=False, method="GET"):
    router = create_router(
        RouterComponents(
            operator_token=TOKEN,
            dispatcher=NamedHandler("service"),
            batch=NamedHandler("tasks"),
            profiles=NamedHandler("profiles"),
            histograms=create_histograms(),
            read_status=lambda: {"node": "e1"},
            is_draining=lambda: draining,
        )
    )
    headers = (("authorization", token),) if token else ()
    return curio.run(router.handle, WebRequest(method, target, headers))


@pytest.mark.parametrize(
    ("target", "name"),
    [
        ("/orders", "service"),
        ("/orders/a?b=/-/status", "service"),
        ("/tasks", "tasks"),
        ("/tasks/0001-x", "tasks"),
    ],
)
def test_routes(target, name):
    assert call(target).body == name.encode()


@pytest.mark.parametrize("token", ["", "Bearer wrong", TOKEN, "Basic " + TOKEN])
@pytest.mark.parametrize("target", ["/-/status", "/-/profiles/a", "/-/x", "/-", "/-/"])
def test_operators_need_their_token(target, token):
    with pytest.raises(RequestError) as caught:
        call(target, token=token)
    assert caught.value.status == 401


def test_operator_pages():
    token = f"Bearer {TOKEN}"
    assert call("/-/profiles", token=token).body == b"profiles"
    assert call("/-/services/orders", token=token).body == b"profiles"
    assert orjson.loads(call("/-/status", token=token).body) == {"node": "e1"}
    assert call("/-/histograms", token=token).status == 200
    for target, method, status in (("/-", "GET", 404), ("/-/status", "PUT", 405)):
        with pytest.raises(RequestError) as caught:
            call(target, token=token, method=method)
        assert caught.value.status == status


def test_health_check_fails_while_draining():
    assert call("/-/health").status == 200
    assert call("/-/health", draining=True).status == 503


def test_target_that_is_not_a_path_is_refused():
    with pytest.raises(RequestError) as caught:
        call("*")
    assert caught.value.code == "bad_target"
