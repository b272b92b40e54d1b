Feature: daemons pass on what replicas say

  Scenario: of several daemons that hear it one tells the others
    # Guards against as many messages as there are pairs of daemons.
    Given 40 daemons of which all hear at once that a replica leaves
    When they tell each other
    Then all daemons know it, and each was told 3 times at most

  Scenario: a daemon that misses the message
    # Guards against daemons that were cut off as the others were told.
    Given 6 daemons of which one hears that a replica leaves
    When the message to another one is lost
    Then it knows it with its next probe

  Scenario: a rest that was asked for through another daemon
    # Guards against the relay, whose host the replica saw, sending on, and
    # against all other daemons keeping to a rest that was not asked of them.
    Given 6 daemons of which one reaches a replica through another
    When the replica asks it for rest
    Then it and its relay send nothing there, and the others may

  Scenario Outline: a message of which <what>
    # Guards against an error on a message that another release may send.
    Given 6 daemons of which one hears that a replica leaves
    When another daemon gets a message of which <what>
    Then it answers with status <status>

    Examples:
      | what                       | status |
      | nothing is known           | 200    |
      | the leaving is malformed   | 400    |
      | the rest is no number      | 400    |
      | the rest is negative       | 400    |

  Scenario Outline: a daemon relays to a replica that <wants>
    # Guards against connections for others to a replica that wants nothing from
    # this host, and against a relay that is avoided for it.
    Given a daemon that relays to two replicas of which one <wants>
    Then it makes connections to the other one alone
    And the asker may still ask it for the other one

    Examples:
      | wants          |
      | asks for rest  |
      | says it leaves |
