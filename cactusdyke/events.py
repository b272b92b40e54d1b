"""Numbered log events, the source of docs/events.md."""

from __future__ import annotations

import enum
from typing import Any

import eliot


class Event(enum.Enum):
    """Every event that the system logs: number, meaning and remedy."""

    DAEMON_STARTED = (1001, "The daemon listens and serves.", "")
    DAEMON_DRAINING = (
        1002,
        "A planned stop has begun; the daemon serves until callers moved.",
        "",
    )
    DAEMON_STOPPED = (
        1003,
        "The daemon has ended; `in_flight`, where told, counts what it cut.",
        "Follow the requests of CD4304 just before, if there are any.",
    )
    PEERS_UNGUARDED = (
        1005,
        "No peer token is set: anybody may use the paths between daemons.",
        "Give all daemons of the deployment the same peer_token.",
    )
    INTERNAL_ERROR = (
        1004,
        "A handler met an error that the code does not expect.",
        "Report it with the fields of this event.",
    )
    CONFIGURATION_APPLIED = (2001, "A higher revision is in force here.", "")
    CONFIGURATION_REJECTED = (
        2002,
        "A revision could not be read whole; the one in force stays.",
        "Submit the configuration again or read the named object.",
    )
    CONFIGURATION_STORE_BEHIND = (
        2003,
        "The store names a lower revision than the one in force, which stays.",
        "Find out whether the store was restored from an old copy.",
    )
    SUBMISSION_ACCEPTED = (2004, "A submission was accepted.", "")
    SUBMISSION_UNKNOWN = (
        2005,
        "Whether a submission was accepted could not be found out.",
        "Submit it again under the same id; it is accepted once at most.",
    )
    HISTORY_SWEPT = (2006, "An old revision and its parts were deleted.", "")
    STORE_UNAVAILABLE = (
        2101,
        "The object service did not answer.",
        "Check the platform's object service; serving goes on without it.",
    )
    STORE_AVAILABLE = (2102, "The object service answers again.", "")
    STORE_CIRCUIT_OPENED = (
        2103,
        "Calls to the object service are held back for a while.",
        "Check the platform's object service; serving goes on without it.",
    )
    MEMBER_CHANGED = (3001, "A daemon's state as seen from here changed.", "")
    DAEMON_PAUSED = (
        3002,
        "This daemon stood still; what it then missed accuses nobody.",
        "Look for a suspended or overcommitted host if this is repeated.",
    )
    GOSSIP_REJECTED = (
        3003,
        "A value on another daemon's message could not be read.",
        "Check that all daemons run releases that may run together.",
    )
    ATTEMPT_FAILED = (
        4001,
        "An attempt at a backend server failed; `digest`, where the connection"
        " broke, is the same for all attempts of one path, caller and body.",
        "Look at the backend server if this is repeated, or at the request if"
        " one digest is told of several backend servers.",
    )
    ANSWER_DROPPED = (
        4002,
        "An answer was not the one asked for, or came late, and was dropped.",
        "Look at the backend server if this is repeated.",
    )
    REQUEST_REFUSED = (4003, "A request was refused before it ran.", "")
    BACKEND_SERVER_LEAVING = (
        4010,
        "A backend server said that it is leaving; it gets no new work.",
        "",
    )
    BACKEND_SERVER_EJECTED = (
        4011,
        "A backend server failed in a row and is left out for a while.",
        "Look at the backend server; it is probed and let back in by itself.",
    )
    ATTEMPT_HEDGED = (
        4012,
        "An attempt was late for its stage, and another one was started.",
        "Look at the backend server if it is named again and again.",
    )
    STREAM_RESUMED = (
        4013,
        "A stream broke or stalled and goes on at another backend server.",
        "Look at the backend server if it is named again and again.",
    )
    RETRY_REFUSED = (
        4014,
        "A retry was not made because the service's retry budget is spent.",
        "Look at the pool: a large share of its attempts fails.",
    )
    RETRY_CHARGED = (
        4015,
        "A retry was charged to the service's retry budget.",
        "",
    )
    RETRY_SENT = (
        4016,
        "A retry is being written to a backend server; `waited_ms` is the time"
        " since it was charged.",
        "",
    )
    RETRY_SHARE_LEFT = (
        4017,
        "A process that stopped as planned has left its share of retries to its"
        " successor, in the store.",
        "",
    )
    RETRY_SHARE_INHERITED = (
        4018,
        "A process that started has taken over the share of retries that its"
        " predecessor left.",
        "",
    )
    RETRY_SHARE_EXPIRED = (
        4019,
        "A process that started could not use the share of retries that its"
        " predecessor left: half a window has gone by, or it ran on another"
        " machine.",
        "",
    )
    LIMIT_OWNED = (
        4201,
        "This daemon begins to lend out a customer's limit.",
        "",
    )
    LIMIT_OWNER_UNREACHABLE = (
        4202,
        "The owner of a customer's limit can't be reached; this daemon admits"
        " an equal part of the limit meanwhile.",
        "Look at the daemon named first for the customer if this goes on.",
    )
    LIMIT_OWNER_PAUSED = (
        4203,
        "This daemon was paused; limits that it lends did not grow meanwhile.",
        "Look for a host that is overloaded or suspended.",
    )
    CUSTOMER_SUBSET_CHANGED = (
        4204,
        "The number of daemons that a customer's callers use has changed.",
        "",
    )
    OVERLOAD_SHED = (
        4211,
        "Requests are refused because they would end too late; told at most"
        " once a second.",
        "Add backend servers to the pipeline's pools if this goes on.",
    )
    SERVING_CONFIGURATION_APPLIED = (
        2201,
        "A newer configuration of what is served is in force here.",
        "",
    )
    SERVING_ENTRY_REJECTED = (
        2202,
        "An entry of the platform's store can't be read; the others hold.",
        "Look at the named entry and who wrote it.",
    )
    SERVING_SOURCE_LOST = (
        2203,
        "The platform's store does not answer; the last state known holds.",
        "Check the platform's store; serving goes on without it.",
    )
    SERVING_SOURCE_REGAINED = (2204, "The platform's store answers again.", "")
    SERVING_PEER_NEWER = (
        2205,
        "Another daemon knew a newer state than the store gave this one.",
        "Look for a cut between this daemon and the platform's store.",
    )
    SETTINGS_RELOADED = (2206, "The settings file was read again.", "")
    SETTINGS_REJECTED = (
        2207,
        "The settings file can't be used; the settings in force stay.",
        "Correct the settings file as the detail says.",
    )
    SERVING_STATE_SOURCE = (
        2208,
        "This daemon hears of the platform's store from another source now;"
        " `age_ms` says how old its state is.",
        "",
    )
    SERVING_STATE_NOT_READ = (
        2211,
        "A read of the platform's state failed, at `source`; `age_ms` says how"
        " old the state here is, `retry_ms` when the next read comes.",
        "Look at the store if it is named, or else at the daemon named.",
    )
    DATA_CENTRE_EVACUATED = (
        2209,
        "The operator evacuates a data centre; its backend servers get no new"
        " work from this daemon.",
        "",
    )
    DATA_CENTRE_RETURNED = (
        2210,
        "A data centre is no longer evacuated; its backend servers get new"
        " work again, and count as cold at first.",
        "",
    )
    REQUEST_ANSWERED = (4301, "A request was answered by a replica.", "")
    REQUEST_FAILED = (
        4302,
        "A request ended with a failure of the system's own.",
        "Follow the request id through the events before.",
    )
    REQUEST_LEFT = (4303, "A caller left before its answer.", "")
    REQUEST_CUT = (
        4304,
        "A request was cut, as this daemon ended.",
        "Follow the request id through the events before.",
    )
    STAGE_CALL_FAILED = (
        4311,
        "A call for pieces brought no results; they are tried again.",
        "Look at the backend server if it is named again and again.",
    )
    STAGE_GIVEN_UP = (
        4315,
        "The pieces of a request's stage were not made, and why; told by the"
        " daemon that decides for the stage service.",
        "Look at the calls of the service in the seconds before.",
    )
    RETURN_TIMES = (
        4337,
        "A stage service refuses requests: how many got a place, returned, let"
        " it expire or got none, since the daemon began to decide for it.",
        "Compare `reserved` with `returned`; `final` grows where the service is"
        " too small for longer than callers wait.",
    )
    STAGE_REPORT_FAILED = (
        4317,
        "A replica did not say how much memory it has left for results.",
        "Nothing; pieces that find no room show it.",
    )
    STAGE_CALL_ENDED = (4314, "A call for pieces has brought its results.", "")
    STAGE_FREE_FAILED = (
        4312,
        "Results could not be freed; they expire by themselves.",
        "Look at the backend server if it is named again and again.",
    )
    PEER_SILENT = (
        4313,
        "A daemon that decides for a service is silent; another one decides.",
        "Look at the daemon and the link to it.",
    )
    REPLICA_CRASHED = (
        4318,
        "A replica is down after connections to it broke; `suspects` names the"
        " requests that were under way from here by digest, with what the crash"
        " may be blamed on: the request, and the parts of its prompt unless its"
        " answer had begun.",
        "Look at the replica's own log; CD4001 has the attempts by digest.",
    )
    REQUESTS_QUARANTINED = (
        4319,
        "Replicas crashed again and again under requests that share all of"
        " `properties`; from now on such requests are refused, whoever sends"
        " them, and no replica gets them. `replicas` names the crashes.",
        "Find the requests in CD4001 by digest or parts; mend the replicas.",
    )
    QUARANTINE_NOT_SAVED = (
        4320,
        "The store does not take which requests are quarantined; daemons that"
        " start tell one another meanwhile.",
        "Check the platform's store.",
    )
    REPLICA_LIMIT_CHANGED = (
        4321,
        "A replica states another limit on the requests that it takes from all"
        " daemons together, or none any more, or says that it is brittle"
        " (`refusals_per_s`); `source` says who has heard it.",
        "Look at the replica's own log for why it is in need.",
    )
    REPLICA_UNREACHABLE = (
        4322,
        "No connection to a replica could be made from this daemon;"
        " `last_connection_ms` says how long ago one to any replica was made,"
        " `unreachable` how many replicas are not reached now.",
        "If daemons name different replicas look at the replicas; if one"
        " daemon names all of them look at its network.",
    )
    REPLICA_REACHED_AGAIN = (
        4323,
        "A connection to a replica that was not reached could be made again.",
        "",
    )
    REPLICA_PATHS_LOST = (
        4324,
        "This daemon reaches no replica, other daemons do; it connects through"
        " them.",
        "Look at the network between this host and the replicas.",
    )
    REPLICA_PATHS_REGAINED = (
        4325,
        "This daemon reaches replicas by itself again.",
        "",
    )
    STREAM_NOT_CONTINUED = (
        4326,
        "A stream that a caller took up could not go on.",
        "Keep two replicas of a software version until its streams have ended;"
        " let callers name the attempt that began it.",
    )
    ORIGINS_UNAVAILABLE = (
        4327,
        "The store did not take or give what tells how streams began.",
        "Check the platform's store; streams of isolated daemons cannot go on.",
    )
    QUARANTINE_ENDED = (
        4328,
        "Requests that share all of `properties` are sent to replicas again:"
        " one of them was answered, or the evidence is refuted or too old.",
        "None; CD4319 follows if replicas crash under them again.",
    )
    QUARANTINE_TRIED = (
        4329,
        "A request is sent although `properties` are blamed, since replicas"
        " crash for other reasons too; if it is answered, the quarantine ends.",
        "None; CD4328 follows if it is answered.",
    )
    SHARES_CHANGED = (
        4335,
        "The decider of a stage service has begun to enforce shares of"
        " customers, as demand exceeds the service's capacity, or has ended"
        " it; `above` names the customers that exceed their shares most, with"
        " demand and share in pieces per second.",
        "Talk to the customers named, change their weights, or add replicas.",
    )
    METRICS_NOT_SERVED = (
        1007,
        "The port for metrics can't be listened on; all else goes on.",
        "Give another port in the deploy file, in both places.",
    )
    ACCEPT_FAILED = (
        1008,
        "A caller's connection could not be accepted; it is tried again.",
        "Raise the limit on descriptors if the error says that there are none.",
    )
    SIGHUP_WITHOUT_EFFECT = (
        1009,
        "SIGHUP came; this daemon reads its settings at its start only.",
        "Restart the daemon to have changed settings in force.",
    )
    BODY_REFUSED = (
        1010,
        "A request's body was refused, as no memory for it became free in 2 s;"
        " `count` of them since the last such line.",
        "Look at cactusdyke_held_bytes for what fills the budget; give the host"
        " more memory, or the deployment more hosts.",
    )
    READER_DISCONNECTED = (
        1011,
        "A caller was disconnected that read too slowly (`slow`), or for which"
        " much was held as memory ran out (`memory`); `count` of them since the"
        " last such line.",
        "None if callers stall; for `memory`, as for CD1010.",
    )
    REQUEST_EVICTED = (
        1013,
        "A request that had not come whole gave way, as memory for requests"
        " ran out or another one waited for it; it was refused as not run, or"
        " its connection was closed; `count` of them since the last such line.",
        "None if callers stall or send for ever; else as for CD1010.",
    )
    CONNECTION_CLOSED = (
        1014,
        "A connection to `listener` was closed as there were too many: `idle`,"
        " with a request that had been coming for a while (`stalled`), or a new"
        " one (`refused`); `count` of them since the last such line.",
        "Find out who opens so many; give the host more descriptors or memory,"
        " or the deployment more hosts, if they are wanted.",
    )
    DECIDER_CHANGED = (
        4316,
        "Another daemon decides for a service; it is told what requests of"
        " this one hold at the service's replicas.",
        "Seen again and again it costs batches; look at the daemons named.",
    )
    REPLICA_LOAD_MALFORMED = (
        4330,
        "A replica's header of its load can't be read and counts as absent;"
        " logged for the first one, the second, the fourth and so on. `headers`"
        " says how many such headers the answer had, `count` how many answers"
        " had an unreadable one.",
        "Look at the replica's software; requests are served without it.",
    )
    BACKGROUND_TASK_FAILED = (
        1012,
        "A background task met an error that the code does not expect; it is"
        " run again after `restart_ms`, if that is set.",
        "Report it with the fields of this event.",
    )
    LINES_DROPPED = (
        1006,
        "Log lines were dropped to stay within the rate of their kind.",
        "Count on the metrics for totals.",
    )
    BOOKING_OUTCOME_UNKNOWN = (
        5001,
        "A non-idempotent call may or may not have run.",
        "Ask the plain service by the idempotency key.",
    )
    BOOKING_NOT_STORED = (
        5002,
        "A call's outcome could not be stored; its record says less.",
        "Check the object service; ask the plain service by the key.",
    )
    BOOKING_CLAIMED = (
        5003,
        "A call was taken over from a daemon that had not made it.",
        "",
    )
    BOOKINGS_DELETED = (5004, "Records past their retention were deleted.", "")
    BOOKING_WITHDRAWN = (
        5005,
        "A call was not made: marking its record had no clear outcome.",
        "Check the object service; the caller may ask again with the key.",
    )

    LEASE_GRANTED = (
        6001,
        "This daemon was granted the lease to order engines.",
        "",
    )
    LEASE_NOT_RENEWED = (
        6002,
        "The lease to order engines could not be renewed.",
        "Check the object service; another daemon takes over when it is back.",
    )
    ENGINE_ORDERED = (
        6003,
        "An engine was ordered to change what it has loaded.",
        "",
    )

    def __init__(self, number: int, meaning: str, remedy: str) -> None:
        self.number = number
        self.meaning = meaning
        self.remedy = remedy

    @property
    def code(self) -> str:
        """The number as it is printed, such as CD1001."""
        return f"CD{self.number}"


def log(event: Event, **fields: Any) -> None:
    """Writes one numbered event with its fields to the eliot log."""
    eliot.log_message(
        message_type=f"{event.code}:{event.name.lower()}", **fields
    )
