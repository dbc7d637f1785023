/** The operator's configuration: a route for streams and one for lookups, some tenants. */
final class Config {

	static final String STREAMS = "/lohu930/2f";

	static final String LOOKUPS = "/puxa403/2f";

	static final int LOOKUP_TIMEOUT_MS = 2_000;

	private Config() {
	}

	/** A configuration with the tenants from 0. */
	static String of(int version, int tenants, long prepaid) {
		return of(version, 0, tenants, prepaid);
	}

	/**
	 * Returns a configuration.
	 * @param version its version
	 * @param from the first tenant; the key of tenant {@code n} is {@link #key}
	 * @param tenants the number of tenants
	 * @param prepaid the allowance of each
	 * @return the value of the row
	 */
	static String of(int version, int from, int tenants, long prepaid) {
		StringBuilder list = new StringBuilder();
		for (int i = from; i < from + tenants; i++) {
			list.append((i > from) ? "," : "")
				.append("{'name':'%s','apiKeys':['%s'],'priority':1,'prepaid':%d}".formatted(tenant(i), key(i), prepaid));
		}
		String streams = "{'name':'r-1','host':'%s','pathPrefix':'/lohu930/','kind':'streaming','timeoutMs':5000,"
			.formatted(Bench.HOST) + "'targetLatencyMs':600,'priority':0,'service':'%s','maxAttempts':2}"
				.formatted(Bench.ENGINES);
		String lookups = "{'name':'r-2','host':'%s','pathPrefix':'/puxa403/','kind':'idempotent','timeoutMs':%d,"
			.formatted(Bench.HOST, LOOKUP_TIMEOUT_MS) + "'targetLatencyMs':300,'priority':2,'service':'%s','maxAttempts':2}"
				.formatted(Bench.DESK);
		String services = "{'name':'%s','healthPath':'/health','engine':{'slots':64,'stride':4}},"
			.formatted(Bench.ENGINES) + "{'name':'%s','healthPath':'/health'}".formatted(Bench.DESK);
		return ("{'version':%d,'routes':[%s,%s],'services':[%s],"
				+ "'limits':{'headerBytes':16384,'bodyBytes':4194304,'headerTimeoutMs':3000,'idleTimeoutMs':15000},"
				+ "'tenants':[%s]}")
			.formatted(version, streams, lookups, services, list)
			.replace('\'', '"');
	}

	static String tenant(int number) {
		return "tenant" + number;
	}

	static String key(int number) {
		return "key%dxd9dnn2ctnfzs989anu6".formatted(number);
	}

	/** A request for a stream of a tenant, which may use 1,540 tokens at most. */
	static Caller.Request stream(String id, int tenant) {
		return new Caller.Request("POST", STREAMS, Bench.HOST, id, key(tenant), 5_000, new byte[100])
			.with(Wire.name("request.model"), "m")
			.with(Wire.name("request.tokens"), "1460,80")
			.with(Wire.name("request.prefix"), "5c1e07a2:800,%s:660".formatted(id));
	}

	/** A lookup, which may be repeated. */
	static Caller.Request lookup(String id, int tenant) {
		return lookup("GET", id, tenant, new byte[0], 0);
	}

	/** The same with another method, and with a body that is sent by other means. */
	static Caller.Request lookup(String method, String id, int tenant, byte[] body, int length) {
		return new Caller.Request(method, LOOKUPS, Bench.HOST, id, key(tenant), 4_000, body, length);
	}

}
