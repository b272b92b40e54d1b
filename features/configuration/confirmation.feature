Feature: what counts as confirmed, and what a daemon that is cut off refuses

  Scenario Outline: with the store silent, <agreeing> of <others> other data centres confirm: <state>
    # A region that is cut off together with a few data centres must not
    # confirm itself while the others go on and change the configuration.
    When <agreeing> of <others> other data centres have the same revision in force
    Then the confirmation is "<state>"

    Examples:
      | others | agreeing | state    |
      | 9      | 5        | by_peers |
      | 9      | 4        | none     |
      | 2      | 1        | by_peers |
      | 2      | 0        | none     |
      | 1      | 1        | by_peers |
      | 1      | 0        | none     |
      | 0      | 0        | none     |

  Scenario Outline: cut off with "<policy>", a <call> is <outcome>
    When a daemon is cut off under the policy "<policy>"
    Then a cut off <call> is <outcome>

    Examples:
      | policy          | call     | outcome  |
      | serve           | pipeline | allowed  |
      | serve           | booking  | allowed  |
      | refuse_bookings | pipeline | allowed  |
      | refuse_bookings | booking  | refused  |
      | refuse_all      | pipeline | refused  |
      | refuse_all      | booking  | refused  |

  Scenario: word of the store from a peer is as old as the peer says
    # A peer answers at once with what the store told it long ago. Taken for
    # fresh, it would confirm a daemon that nothing has confirmed for minutes.
    When a peer passes on what the store said 29 seconds ago
    Then it confirms for 1 second and no longer
