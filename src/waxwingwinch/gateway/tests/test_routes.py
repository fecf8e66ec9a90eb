"""Lookup of routes, weighted services, customers and hashes."""

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._model import (
    CustomerRules,
    GatewayConfiguration,
    RequestKind,
    Route,
    WeightedService,
)
from waxwingwinch.gateway._routes import RouteTable, choose_service, stable_rank

SHOP = (WeightedService("shop", 1.0),)


def make_route(prefix, host="shop.example", targets=SHOP):
    return Route(prefix, host, prefix, RequestKind.IDEMPOTENT, 1.0, 0.1, 0, targets, 2)


def make_table(*routes, customers=()):
    return RouteTable.build(
        GatewayConfiguration(1, tuple(routes), customers=tuple(customers))
    )


def test_longest_prefix_of_the_host_is_chosen():
    table = make_table(make_route("/a/"), make_route("/a/b/"), make_route("/"))
    assert table.route("shop.example", "/a/b/c").path_prefix == "/a/b/"
    assert table.route("SHOP.example:8080", "/a/x").path_prefix == "/a/"
    assert table.route("shop.example", "/z").path_prefix == "/"
    assert table.route("other.example", "/a/") is None


def test_a_prefix_does_not_match_within_a_segment():
    table = make_table(make_route("/a/"))
    assert table.route("shop.example", "/ab") is None


def test_split_follows_weights_and_is_stable_for_a_request():
    targets = (WeightedService("one", 90.0), WeightedService("two", 10.0))
    route = make_route("/", targets=targets)
    chosen = [choose_service(route, f"request-{index}") for index in range(2_000)]
    assert 0.06 < chosen.count("two") / len(chosen) < 0.14
    assert choose_service(route, "request-7") == choose_service(route, "request-7")


def test_customer_is_found_by_key():
    customer = CustomerRules(CustomerId("c"), frozenset({"k1", "k2"}))
    table = make_table(customers=[customer])
    assert table.needs_keys
    assert table.customer("k2") is customer
    assert table.customer("k3") is None


def test_an_older_version_is_not_put_in_force():
    current = CurrentTable()
    assert current.publish(GatewayConfiguration(7))
    assert not current.publish(GatewayConfiguration(5))
    assert not current.publish(GatewayConfiguration(7))
    assert current.version == 7


def test_ranks_are_spread_evenly_over_pairs():
    ranks = [
        stable_rank(f"prompt-{prompt}", f"engine-{engine}")
        for prompt in range(40)
        for engine in range(25)
    ]
    for tenth in range(10):
        share = sum(tenth <= 10 * rank < tenth + 1 for rank in ranks) / len(ranks)
        assert 0.06 < share < 0.14
    affine_engines = [
        max(
            range(25),
            key=lambda engine: stable_rank(f"prompt-{prompt}", f"engine-{engine}"),
        )
        for prompt in range(500)
    ]
    assert max(affine_engines.count(engine) for engine in range(25)) < 45


def test_ranks_are_the_same_in_all_processes():
    assert stable_rank("prompt", "engine") == stable_rank("prompt", "engine")
    assert round(stable_rank("prompt", "engine"), 12) == 0.090974056883
