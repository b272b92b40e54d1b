Feature: cold replicas and evacuated data centres beside other trouble

  Scenario Outline: a data centre comes back cold under a burst, beside <trouble>
    # Guards against a second crash of replicas that have just come back.
    Given the scenario of a cold return, beside <trouble>
    When it is played with two seeds
    Then no cold replica gets more than it tolerates
    And nothing reaches an evacuated data centre

    Examples: troubles
      | trouble                             |
      | nothing else                        |
      | daemons that start again in turn    |
      | a third of the daemons being killed |
      | the loss of all daemons             |

  Scenario: a plain service whose replicas all come back cold
    # Guards against a service that refuses everything until one is warm.
    Given the scenario of a cold return of all desks
    When it is played with two seeds
    Then cold replicas get requests, and none gets more than it tolerates

  Scenario: cold replicas are worth their limit
    # Guards against a limit that costs more than it saves, and against one that
    # the scenario does not need.
    Given the scenario of a cold return, beside nothing else
    When it is played with our limit, with none, and with nothing for cold ones
    Then cold replicas get more than they tolerate without a limit
    And they get some requests with ours, and none with nothing for cold ones
