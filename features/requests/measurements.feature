Feature: the serving benchmarks run in their smallest size

  Scenario Outline: the case <case> counts every request
    When the serving case <case> runs in its smallest size
    Then it has the columns <columns>
    And no answer was wrong and no refusal was falsely not run

    Examples:
      | case                  | columns                                                         |
      | case_a_straggler      | naive; project                                                  |
      | case_c_killed_in_stream | naive, killed; project, killed; naive, frozen; project, frozen |
      | case_d_lagging_reports | naive; last report; project                                    |
      | case_e_prefix_cache   | naive; without hints; project                                   |

  Scenario: the overhead of a daemon is measured on real processes
    When the serving case case_overhead runs in its smallest size
    Then each of its rows counts requests or tokens

  Scenario: the cost of a choice is measured at five sizes of a pool
    When the serving case case_choice_cost runs in its smallest size
    Then it measured pools of 18, 60, 180, 600 and 1800 replicas
