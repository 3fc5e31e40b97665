/*
 * JSON messages of the platform's HTTP interfaces, apart from the table service.
 */
package org.persimmonrelay.platform.http

import kotlinx.serialization.Serializable
import org.persimmonrelay.platform.Host

/** Response to `GET /objects`. */
@Serializable
public data class NamesMessage(val names: List<String>)

/** Body of `POST /usage`. */
@Serializable
public data class UsageMessage(val window: String, val epoch: Long, val body: String)

/** Response to `GET /hosts`. */
@Serializable
public data class HostsMessage(val hosts: List<Host>)

/** Response to `GET /weights`. */
@Serializable
public data class WeightsMessage(val loadsPerMinute: Int)
