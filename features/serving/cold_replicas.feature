Feature: cold replicas receive no more requests than they tolerate

  Scenario Outline: a replica that <reports> is <expected>
    Given a replica that <reports>
    Then the replica counts as <expected>

    Examples:
      | reports                                            | expected |
      | says that it is cold for three seconds             | cold     |
      | said so four seconds ago                           | warm     |
      | said so, and is listed again four seconds later    | warm     |
      | says that it is warm                               | warm     |
      | says nothing and started a second ago              | cold     |
      | says nothing and started a minute ago              | warm     |
      | says nothing, not even when it started             | cold     |
      | turns cold again                                   | cold     |
      | is warm in a data centre that was taken back       | cold     |
      | belongs to a service whose cold ones need no limit | warm     |

  Scenario: a cold replica that reports its remaining time again and again
    # Guards against work at every daemon with each heartbeat of a cold replica.
    Given a replica that says that it is cold for three seconds
    When it reports shorter times ten times
    Then the deployment announces no change, and the replica is cold as reported

  Scenario: a hot subject beside a data centre that comes back cold
    # Guards against a crash of the engine that a hot subject prefers, as all of
    # its requests go there when it comes back.
    Given a decider of nine engines, three of which come back cold
    When a burst of 400 requests a second comes for one subject
    Then no cold engine is given over eight requests in a second
    And every request is placed

  Scenario: cold engines share a burst that the warm ones cannot carry
    # Guards against cold engines that stand idle under a burst.
    Given a decider of nine engines, three of which come back cold
    When a burst of 400 requests a second comes for 100 subjects
    Then the cold engines are given requests too

  Scenario: a service whose replicas are all cold
    # Guards against a service that refuses everything after its replicas came
    # back together, and against daemons that each send what one may.
    Given a decider of a plain service whose three replicas are cold
    When 60 requests ask for one of them within a second
    Then 24 of them are sent, eight to each, and the others are refused

  Scenario: a daemon that is not the decider sends nothing to a cold replica
    # Guards against hosts that cannot reach the decider and all choose the same
    # replica by themselves.
    Given a daemon that is not the announced decider of nine engines
    When a burst of 400 requests a second comes for one subject
    Then no cold engine is given any
    And every request is placed

  Scenario: calls of a stage service count as well
    # Guards against stage calls that crash a cold replica.
    Given a decider of a stage service with one cold and one warm replica
    When it makes calls for two seconds without a pause
    Then the cold one is called no more than it tolerates

  Scenario: daemons in any state of membership respect the limit together
    # Guards against two deciders that each send what one may: after a partition,
    # a mass start, or gossip that is late.
    When the machine of a cold replica runs 60 examples
    Then no example exceeds the limit
    And daemons that each limit only what they send themselves exceed it

  Scenario: an allowance is shared by two deciders
    Then two deciders together stay within any allowance of two requests or more
