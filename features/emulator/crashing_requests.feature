Feature: a request that crashes replicas is kept from them whatever else fails

  Scenario Outline: a <kind> that crashes replicas, beside <trouble>
    # Guards against knowledge of such a request that one fault takes away, and
    # against refusing requests that were under way beside it.
    Given the scenario of a <kind> that crashes replicas, beside <trouble>
    When it is played with three seeds
    Then no play sends such a request to replicas over three times once it has crashed three
    And no play refuses a sound request for it

    Examples: troubles
      | kind  | trouble                                     |
      | query | nothing else                                |
      | draft | nothing else                                |
      | look  | nothing else                                |
      | query | a third of the daemons that are killed      |
      | look  | daemons that start again in turn            |
      | draft | two more such requests of other kinds       |
      | query | replicas that crash by themselves           |
      | query | only two replicas of the engines            |
