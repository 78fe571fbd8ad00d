"""The platform's part of `make demo`."""

from standins.platformdemo import check_platform_entry


class TestPlatformDemo:
    """The demo holds on a new entry."""

    # Guards against a demo that expects more of an entry's first seconds than
    # its shares of limits allow.
    def test_all_checks_hold(self) -> None:
        broken: list[str] = []

        def check(is_held: object, what: str) -> None:
            if not is_held:
                broken.append(what)

        check_platform_entry(check)
        assert broken == []
