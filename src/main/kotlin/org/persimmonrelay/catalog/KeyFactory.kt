package org.persimmonrelay.catalog

import java.security.SecureRandom

/** A new key; [secret] is shown to the operator once and kept nowhere. */
public class IssuedKey(public val secret: String, public val key: ApiKey)

/** Makes keys of the form `pr_` and 40 random letters and digits. */
public class KeyFactory(private val random: SecureRandom, private val digester: KeyDigester) {
    /** A key called [name] for [workspace], or an operator's key when that is null. */
    public fun issue(name: String, workspace: String?, labels: Map<String, String> = emptyMap()): IssuedKey {
        val secret = PREFIX + String(CharArray(LENGTH) { ALPHABET[random.nextInt(ALPHABET.length)] })
        return IssuedKey(secret, ApiKey(name, labels, workspace, digester.digest(secret)))
    }

    public companion object {
        /** What every key begins with, so that scanners for leaked secrets find it. */
        public const val PREFIX: String = "pr_"

        /** Random characters in a key: 40 of 62 kinds are more than 238 bits. */
        public const val LENGTH: Int = 40
        private const val ALPHABET = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"

        /** True when [text] has the form of a key. */
        public fun isWellFormed(text: String): Boolean = text.length == PREFIX.length + LENGTH &&
            text.startsWith(PREFIX) &&
            text.drop(PREFIX.length).all { it in ALPHABET }
    }
}
