"""Tests of routes, services and ranks of a configuration."""

from collections import Counter

from testtools import TestCase

from hemlocktrestle.gateway import Target, choose_service, urgency_rank
from tests.gateway.records import configuration, customer, route


class RouteTests(TestCase):
    """The route of a request is the one with the longest matching prefix."""

    def test_the_longest_prefix_goes_first(self) -> None:
        """A route with a longer prefix takes precedence for its paths."""
        wide, narrow = route("/a/"), route("/a/b/")
        found = configuration(wide, narrow)
        self.assertEqual(narrow, found.route("callers.example", "/a/b/c"))
        self.assertEqual(wide, found.route("CALLERS.example", "/a/bc"))

    def test_other_hosts_and_paths_have_no_route(self) -> None:
        """A prefix matches only whole path segments and its own host."""
        found = configuration(route("/a/"))
        self.assertIsNone(found.route("other.example", "/a/b"))
        self.assertIsNone(found.route("callers.example", "/ab"))
        self.assertIsNone(found.route("callers.example", ""))

    def test_a_route_of_everything_takes_the_rest(self) -> None:
        """The prefix of a single slash matches every path."""
        found = configuration(route("/"))
        self.assertIsNotNone(found.route("callers.example", "/x/y"))

    def test_keys_lead_to_their_customer(self) -> None:
        """A key finds the customer that holds it, and no other key finds any."""
        found = configuration(customers=(customer("clinics"), customer("schools")))
        owner = found.customer_of("schools-key")
        self.assertEqual("schools", owner.name if owner else "")
        self.assertIsNone(found.customer_of(""))


class ChooseServiceTests(TestCase):
    """Requests are divided among a route's services by weight."""

    def test_requests_follow_the_weights(self) -> None:
        """A service with a quarter of the weight gets a quarter of the requests."""
        split = route(targets=(Target("old", 75), Target("new", 25)))
        counts = Counter(choose_service(split, str(number)) for number in range(4_000))
        self.assertTrue(900 < counts["new"] < 1_100, counts)

    def test_one_request_always_goes_the_same_way(self) -> None:
        """The choice depends on nothing but the request's id."""
        split = route(targets=(Target("old", 1), Target("new", 1)))
        self.assertEqual(1, len({choose_service(split, "r1") for _ in range(9)}))

    def test_a_weight_of_zero_gets_nothing(self) -> None:
        """A service with weight zero is never chosen."""
        split = route(targets=(Target("old", 0), Target("new", 1)))
        chosen = {choose_service(split, str(number)) for number in range(200)}
        self.assertEqual({"new"}, chosen)


class RankTests(TestCase):
    """Requests are ranked by customer before route."""

    def test_the_customer_goes_first_and_then_the_route(self) -> None:
        """With equal customer ranks, the route's rank decides."""
        ranked = [
            urgency_rank(route(rank=1), customer(rank=0)),
            urgency_rank(route(rank=0), customer(rank=1)),
            urgency_rank(route(rank=2), customer(rank=1)),
        ]
        self.assertEqual(sorted(ranked), ranked)
        self.assertEqual(0, urgency_rank(route(rank=0), None))
