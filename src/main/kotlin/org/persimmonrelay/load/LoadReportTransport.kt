package org.persimmonrelay.load

import org.persimmonrelay.http.ServerAddress

/** Sends datagrams between nodes; any may be lost, delayed or duplicated. Confined to the traffic thread. */
public fun interface LoadReportTransport {
    /** Sends [bytes] to [address], or drops them when the transport can't send. */
    public fun send(address: ServerAddress, bytes: ByteArray)
}
