from standins.fleet import loopback_host


def test_fleets_of_concurrent_test_processes_share_no_address():
    fleets = [
        {loopback_host(10, number, process) for number in range(1_700)}
        for process in range(1_000, 1_030)
    ]
    assert all(len(hosts) == 1_700 for hosts in fleets)
    for one, two in zip(fleets, fleets[1:], strict=False):
        assert not one & two


def test_zone_is_the_second_byte_of_the_address():
    assert loopback_host(12, 0, 4_711).split(".")[1] == "12"
