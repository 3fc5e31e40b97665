package org.persimmonrelay.membership

import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId

/** Another node that runs, and where it takes datagrams. */
public data class UdpPeer(val node: NodeId, val domain: FailureDomain, val address: ServerAddress)
