Feature: requests with a part that crashes replicas are kept from them

  Scenario Outline: prompts of <kind> with <part>, beside <trouble>
    # Guards against evidence that hangs on whole requests, of which no two are
    # alike, and against refusing requests that share other parts with them.
    Given the scenario of <kind> requests with <part>, beside <trouble>
    When it is played twice
    Then at most three such requests reach replicas after the third crash
    And requests of the same kind are served as often as before the crashes
    And no play refuses a sound request for it

    Examples: troubles
      | kind  | part                                       | trouble                                |
      | query | one part                                   | nothing else                           |
      | draft | one part                                   | nothing else                           |
      | query | two parts, each by itself                  | nothing else                           |
      | query | two parts that always come together        | nothing else                           |
      | query | one part that was harmless at first        | nothing else                           |
      | query | one part                                   | answers that end with their connection |
      | query | one part behind a long prompt              | nothing else                           |
      | query | one part                                   | daemons that are killed                |
      | draft | one part                                   | daemons that start again in turn       |
      | query | one part                                   | daemons that lose power                |
      | query | one part                                   | a decider that is killed               |
      | query | one part                                   | daemons that are cut off               |
      | query | one part                                   | replicas that crash by themselves      |
      | draft | one part                                   | waves of crashes                       |

  Scenario Outline: nothing is refused beside <trouble>
    # Guards against blaming a popular part for crashes of other causes.
    Given the scenario without such requests, beside <trouble>
    When it is played twice
    Then no play refuses a sound request for it

    Examples: troubles
      | trouble                               |
      | waves of crashes                      |
      | replicas that crash by themselves     |
      | all replicas crashing together        |
      | waves of crashes under a heavy load   |
