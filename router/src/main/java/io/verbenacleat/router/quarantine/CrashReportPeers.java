package io.verbenacleat.router.quarantine;

import java.util.List;

/**
 * The other routers, to which crash reports are passed on. Methods are called on the
 * control thread.
 */
public interface CrashReportPeers {

	/**
	 * Sends reports to some other routers, which pass on what is new to them.
	 * @param reports the reports
	 */
	void sendReports(List<CrashReport> reports);

	/**
	 * Returns an instance without other routers.
	 * @return an instance that drops the reports
	 */
	static CrashReportPeers none() {
		return (reports) -> {
		};
	}

}
