Feature: a planned stop cuts nothing that it relays for other daemons

  Scenario Outline: a stream relayed by a daemon that stops <when>
    # Guards against a stop that ends other daemons' connections to replicas
    # before its grace is over.
    Given a daemon that reaches a replica through another one only
    When the other one is asked to stop <when>
    Then the caller has every event of one attempt, and the end

    Examples: times of the stop
      | when                                 |
      | in the middle of a stream            |
      | half a second before its last moment |

  Scenario: a stream relayed for a daemon that has not heard of the stop
    # Guards against connections that are still made for others after SIGTERM,
    # and cut once the daemon has no request of its own.
    Given a daemon that relays, with nothing in flight
    When a stream is sent through it one second after it was asked to stop
    Then the stream has every event
