package org.persimmonrelay.http

/** Address on which a server listens: an IPv4 address and a port. */
public data class ServerAddress(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_OCTET = 255
        private val IPV4 = Regex("(\\d{1,3}\\.){3}\\d{1,3}")

        /** Parses `IP:PORT`; null when [text] has another format. */
        public fun parse(text: String): ServerAddress? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (!isIpv4(host) || port !in 1..MAX_PORT) return null
            return ServerAddress(host, port)
        }

        /** Anything else would be looked up as the name of a host. */
        private fun isIpv4(host: String) = IPV4.matches(host) && host.split('.').all { it.toInt() <= MAX_OCTET }
    }
}
