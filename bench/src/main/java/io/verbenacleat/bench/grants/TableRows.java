package io.verbenacleat.bench.grants;

import java.util.List;
import java.util.Map;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Callers;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.member.ZoneMembers;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.Transaction;

/**
 * Writes the rows that operators and starting processes write, directly to the store and
 * so unaffected by simulated faults. Not safe for use by several threads.
 */
final class TableRows {

	static final String KEY_SHA256 = "hash";

	private static final String ZONE = "zone";

	private final InMemoryTableStore store;

	TableRows(InMemoryTableStore store) {
		this.store = store;
	}

	void addAccount(String id, long tokens) {
		put(Account.key(id), Account.create(id, "workspace", 3).plusTopUp(tokens));
		put(Callers.key(id), new Callers(List.of(new Callers.Caller("caller", KEY_SHA256, 0, null))));
	}

	void topUp(String id, long tokens) {
		put(Account.key(id), account(id).plusTopUp(tokens));
	}

	Account account(String id) {
		return parse(this.store.read(Account.key(id)).join(), Account.class);
	}

	Member register(String incarnation, Member.Role role, String site) {
		Member member = new Member(incarnation, role, incarnation + ":1", "host", "region", ZONE, site,
				(role == Member.Role.AGENT) ? incarnation : null, 1, 0);
		Row members = this.store.read(ZoneMembers.key(ZONE)).join();
		Row head = this.store.read(Head.KEY).join();
		ZoneMembers registered = (members.exists()) ? parse(members, ZoneMembers.class) : new ZoneMembers(List.of());
		Head topics = (head.exists()) ? parse(head, Head.class) : new Head(Map.of());
		this.store
			.transact(Transaction.builder()
				.insert(ProcessRow.key(incarnation), Json.write(new ProcessRow(member, ProcessRow.State.OPEN, null)))
				.putIf(members.key(), members.version(), Json.write(registered.plus(member)))
				.putIf(head.key(), head.version(), Json.write(topics.withNextVersion(members.key())))
				.build())
			.join();
		return member;
	}

	private void put(String key, Object value) {
		Row row = this.store.read(key).join();
		this.store.transact(Transaction.builder().putIf(key, row.version(), Json.write(value)).build()).join();
	}

	private static <T> T parse(Row row, Class<T> type) {
		try {
			return Json.read(row.json(), type);
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException(row.key(), ex);
		}
	}

}
