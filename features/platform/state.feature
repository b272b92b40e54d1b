Feature: configuration, discovery, addresses and stops on the platform

  Scenario: a version is in force at once and never goes back
    When a route is added and then its service changes
    Then it is served within a second, and an older version changes nothing

  Scenario: a store whose history is gone is listed again
    # The store is down, a replica comes and one goes, and the history that
    # would tell of it is dropped before the daemon watches again.
    When the store forgets its history while a replica comes
    Then it serves on meanwhile and knows the replica soon after

  Scenario: entries that can't be read hide no others
    When the list holds entries that can't be read
    Then they name no replica and the others hold

  Scenario Outline: an evacuated data centre, its entry <entry>
    # Guards against requests to replicas that the operator needs idle, and
    # against an entry that is ignored for what another writer put there.
    When a data centre is evacuated and taken back, its entry <entry>
    Then its replicas get nothing within a second, and requests after it
    And the log says since when it is evacuated, and from whom that is known

    Examples:
      | entry         |
      | empty         |
      | a text        |
      | a list        |
      | without value |

  Scenario: replicas that change beside a daemon that is ready
    # Guards against a daemon that probes many others with each such change.
    When replicas change ten times beside a daemon that is ready
    Then it has announced itself once

  Scenario: a daemon that starts during an evacuation
    # Guards against its first requests, before it has read of the evacuation.
    When a daemon starts while its data centre is evacuated
    Then it sends nothing there

  Scenario: a daemon that the store turns away learns of an evacuation
    # Guards against a follower that hears of replicas only from its reader.
    When a data centre is evacuated while the store turns a daemon away
    Then that daemon sends nothing there two seconds later

  Scenario: an evacuation that the store no longer confirms
    # Guards against replicas that are used again as the store is down.
    When the store goes down during an evacuation and forgets nothing
    Then the data centre stays evacuated

  Scenario: a daemon that knows nothing says so
    # It starts in an outage of the store. A 404 for a route that exists would
    # be taken for final.
    When a daemon starts while the store is down and nobody else is there
    Then it is not ready and answers 503 with a time, until the store is back

  Scenario: a daemon the store turns away learns from another one
    # The store serves some hosts and not others. What the operator changes has
    # to reach all of them all the same.
    When a daemon starts while the store is down beside one that knows
    Then it learns configuration and replicas from it within three seconds

  Scenario: a planned stop sends callers elsewhere and cuts nobody
    # Callers keep an address for seconds after the answer named it.
    When one of two daemons is asked to stop
    Then callers are told of the other one within a second
    And it serves those that still come, and asks them to leave

  Scenario: a stopping daemon begins nothing that it would have to cut
    # A caller still holds the address and sends a request that takes three
    # seconds, two before the process ends.
    When a stream comes to a daemon that has two seconds left
    Then the caller is told at once that it did not run

  Scenario: a stopping daemon knows how long a route's streams take
    # A dispatcher's answer takes four seconds, longer than most. It came to a
    # host that had 3.7 s left, and was cut as the host ended.
    Given a route whose streams were seen to take four seconds
    When a stream comes to a daemon that has under four seconds left
    Then the caller is told at once that it did not run

  Scenario: a stopping daemon ends when nothing is in flight
    # Hosts are stopped in turn, a second apart. If each waits out its eight
    # seconds all of them are stopping at once, and refuse.
    When daemons with and without a request are asked to stop
    Then the idle one ends after three seconds, the other one with its answer

  Scenario: settings that can't be used change nothing
    When a daemon runs as a process and its settings break and mend
    Then it keeps the settings it had, logs both, and stops in good order

  Scenario: a daemon that is told of new settings as it starts
    # Guards against a daemon that ends by a SIGHUP it does not handle yet, and
    # against settings that change between their reading and the first look.
    When daemons get SIGHUP again and again from their first line on
    Then they become ready
    And settings that changed during the start are in force

  Scenario: settings without a value are refused with its name
    Given settings that lack the store's address
    When they are loaded
    Then the error names the file and what is missing

  Scenario: configurations of other shapes are read or refused whole
    When configurations of other shapes are decoded
    Then what is whole is taken and what is not is refused with a reason

  Scenario Outline: an entry of a replica without <field>
    # Guards against an entry of another writer that brings back a replica which
    # has left.
    When a whole entry of a replica is decoded, and one without <field>
    Then the whole one is a replica, and the other one <outcome>

    Examples:
      | field        | outcome  |
      | service      | is none  |
      | address      | is none  |
      | zone         | is none  |
      | version      | is none  |
      | capacity     | is none  |
      | state        | is none  |
      | cold_left_ms | is none  |
      | seq          | is none  |
      | born         | is one   |

  Scenario: metrics are told on the port of the deploy file
    # The platform draws all other ports each day. Named after one of them, the
    # metrics were not where operators asked for them.
    When two daemons on one address are given the same port for metrics
    Then the first tells its metrics there
    And the second says that it can't, and serves all the same

  Scenario Outline: a metrics port of <text> is <outcome>
    When the metrics port is given as <text>
    Then it is <outcome>

    Examples:
      | text   | outcome |
      | 9464   | taken   |
      | http   | refused |
      | 70000  | refused |
