package io.verbenacleat.core.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The bearer key of a caller, {@code vk_<account>_<secret>}. Immutable. The secret does
 * not appear in {@link #toString}, so a key can be logged.
 */
public final class CallerKey {

	private static final String ALPHABET = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

	/** 43 characters out of 62 have an entropy of 256 bits. */
	private static final int SECRET_LENGTH = 43;

	private static final Pattern ACCOUNT_ID = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private static final Pattern KEY = Pattern.compile("vk_([a-z0-9][a-z0-9-]{0,62})_([0-9A-Za-z]{43})");

	private final String text;

	private final String accountId;

	private CallerKey(String text, String accountId) {
		this.text = text;
		this.accountId = accountId;
	}

	/**
	 * Returns whether a text is a valid account id.
	 * @param accountId the text
	 * @return {@code true} if the text has the form of an account id; the account need
	 * not exist
	 */
	public static boolean isAccountId(String accountId) {
		return ACCOUNT_ID.matcher(accountId).matches();
	}

	/**
	 * Creates a key with a random secret.
	 * @param accountId the account, a valid account id
	 * @param random the source of the secret, cryptographically strong outside tests
	 * @return the key
	 */
	public static CallerKey create(String accountId, RandomGenerator random) {
		StringBuilder text = new StringBuilder("vk_").append(accountId).append('_');
		for (int i = 0; i < SECRET_LENGTH; i++) {
			text.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
		}
		return new CallerKey(text.toString(), accountId);
	}

	/**
	 * Parses a key.
	 * @param text the text that a caller sent
	 * @return the key, or empty if the text does not have the form of a key
	 */
	public static Optional<CallerKey> parse(String text) {
		Matcher matcher = KEY.matcher(text);
		return (matcher.matches()) ? Optional.of(new CallerKey(text, matcher.group(1))) : Optional.empty();
	}

	/**
	 * Returns the account that the key belongs to.
	 * @return the account id
	 */
	public String accountId() {
		return this.accountId;
	}

	/**
	 * Returns the whole key with its secret, to be shown to the operator once.
	 * @return the text of the key
	 */
	public String reveal() {
		return this.text;
	}

	/**
	 * Returns the hash of the key, which is stored and sent between processes instead of
	 * the key.
	 * @return the SHA-256 of the whole key in UTF-8, in lower-case hexadecimal
	 */
	public String sha256() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(this.text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform has SHA-256", ex);
		}
	}

	@Override
	public String toString() {
		return "vk_" + this.accountId + "_...";
	}

}
