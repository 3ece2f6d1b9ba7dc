"""Node processes whose upstreams advertise a limit or their departure."""


def test_log_and_metrics_state_the_limit_that_an_upstream_advertises(run_scenario):
    async def scenario(mesh):
        machine = mesh.machines[2]
        machine.upstream.limit = "4.6"
        status, _, headers = await mesh.send(machine, "/panels/exports/1", "r1")
        assert status == 200 and headers["Server-Limit"] == "4.6"
        (line,) = mesh.events(machine, "advertised")
        assert (line["upstream"], line["limit_per_s"]) == ("i-3", 4.6)
        assert "ragwortferry_upstream_limited 1\n" in await mesh.metrics(machine)
        assert "ragwortferry_upstream_limit_per_s 4.6\n" in await mesh.metrics(machine)

    run_scenario(scenario)
