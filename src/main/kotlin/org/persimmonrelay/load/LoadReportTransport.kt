package org.persimmonrelay.load

import org.persimmonrelay.http.ServerAddress

/** Carries datagrams between nodes; any may be lost, late or twice. Confined to the traffic thread. */
public interface LoadReportTransport {
    /** Sends [bytes] to [address], or drops them. */
    public fun send(address: ServerAddress, bytes: ByteArray)
}
