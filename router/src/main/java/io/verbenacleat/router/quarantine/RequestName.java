package io.verbenacleat.router.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.jspecify.annotations.Nullable;

/**
 * Names requests, so that a request that comes again is known on all routers. Two
 * requests have the same name if they have the same method, path, workspace, prompt and
 * body. Stateless.
 */
public final class RequestName {

	private static final String PREFIX = "own-";

	private static final HashFunction HASH = Hashing.murmur3_128();

	private RequestName() {
	}

	/**
	 * Returns the name of a request. The workspace has a hash of its own, so that no
	 * caller can choose a body by which the requests of another workspace are refused.
	 * @param method the method
	 * @param path the path with its query
	 * @param workspace the name of the workspace, empty without one
	 * @param prompt the parts of the prompt, or {@code null}
	 * @param body the body, empty without one
	 * @return the name, which differs from the ids of all shared prompt parts
	 */
	public static String of(String method, String path, String workspace, @Nullable String prompt, ByteBuffer... body) {
		Hasher content = HASH.newHasher();
		putText(content, method);
		putText(content, path);
		putText(content, (prompt != null) ? prompt : "");
		for (ByteBuffer buffer : body) {
			content.putBytes(buffer);
		}
		HashCode caller = HASH.hashString(workspace, StandardCharsets.UTF_8);
		return PREFIX + Long.toHexString(caller.asLong()) + "-" + content.hash();
	}

	/**
	 * Returns whether an id is the name of a request.
	 * @param id the id
	 * @return {@code false} for the id of a prompt part that requests may share
	 */
	public static boolean isName(String id) {
		return id.startsWith(PREFIX);
	}

	// The length separates the texts.
	private static void putText(Hasher hasher, String text) {
		hasher.putInt(text.length()).putUnencodedChars(text);
	}

}
