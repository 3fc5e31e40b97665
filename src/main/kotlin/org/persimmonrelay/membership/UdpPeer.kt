package org.persimmonrelay.membership

import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId

/** Another running relay node. [address] is its UDP address. */
public data class UdpPeer(val node: NodeId, val domain: FailureDomain, val address: ServerAddress)
