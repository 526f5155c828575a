"""The closing line that the project's CI reads."""


def pytest_unconfigure(config):
    reporter = config.pluginmanager.getplugin("terminalreporter")
    if reporter:
        stats = {name: len(reporter.stats.get(name, ())) for name in ("passed", "failed", "error")}
        print(f"\n{stats['passed']} passed, {stats['failed'] + stats['error']} failed")
