package org.persimmonrelay.catalog

import java.security.SecureRandom

/** A new key; [secret] is shown to the operator once and never stored. */
public class IssuedKey(public val secret: String, public val key: ApiKey)

/** Creates keys that consist of `pr_` and 40 random letters and digits. */
public class KeyFactory(private val random: SecureRandom, private val digester: KeyDigester) {
    /** Creates a key with [name] for [workspace], or an operator's key when [workspace] is null. */
    public fun issue(name: String, workspace: String?, labels: Map<String, String> = emptyMap()): IssuedKey {
        val secret = PREFIX + String(CharArray(LENGTH) { ALPHABET[random.nextInt(ALPHABET.length)] })
        return IssuedKey(secret, ApiKey(name, labels, workspace, digester.digest(secret)))
    }

    public companion object {
        /** Prefix of every key, by which scanners for leaked secrets recognize keys. */
        public const val PREFIX: String = "pr_"

        /** Number of random characters in a key; 40 characters out of 62 have more than 238 bits of entropy. */
        public const val LENGTH: Int = 40
        private const val ALPHABET = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"

        /** True when [text] has the format of a key. */
        public fun isWellFormed(text: String): Boolean = text.length == PREFIX.length + LENGTH &&
            text.startsWith(PREFIX) &&
            text.drop(PREFIX.length).all { it in ALPHABET }
    }
}
